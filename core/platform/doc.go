// Package platform states the three contracts between basilferry and the
// platform it runs on: workers, the log service and the VM list. The daemon
// knows the platform through these interfaces only; the stand-ins in module
// platform and the HTTP clients in module node implement them.
package platform
