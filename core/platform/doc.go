// Package platform defines the contracts between basilferry and the platform
// that it runs on: workers, the store, the policy service, the log service and
// the VM list. The daemon uses the platform only through these interfaces;
// clients and stand-ins in other modules implement them.
package platform
