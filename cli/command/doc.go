// Package command implements the commands of basilferry, one file for each.
// docs/cli.md describes them.
package command
