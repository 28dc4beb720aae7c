// Package command implements the commands of basilferry, one file per command.
// docs/cli.md describes them.
package command
