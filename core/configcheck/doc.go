// Package configcheck checks an operator configuration before it is sent, and lists its
// differences from another one. It names API keys by their short digests only.
package configcheck
