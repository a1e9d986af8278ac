package main

import (
	"errors"

	"rhubarbrelay/admin"
	"rhubarbrelay/commands"
	"rhubarbrelay/config"
	"rhubarbrelay/configlog"
	"rhubarbrelay/platform"
)

// The exit codes. Scripts depend on them.
const (
	exitOK = 0
	// exitFailed means that the command failed and that the change that it
	// names was not made.
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	// exitUnknown means that the change may have taken effect.
	exitUnknown = 4
	// exitUnreachable means that no instance answered, or that a published
	// change was not in force everywhere in time.
	exitUnreachable = 5
)

const exitHelp = `
Exit codes:
  0  done
  1  failed, nothing was changed
  2  usage or invalid input
  3  conflict with another change
  4  unknown whether it took effect; repeat with the printed --id
  5  no instance reachable, or --wait timed out
`

// errUsage reports arguments that cannot be used.
var errUsage = errors.New("invalid arguments")

// exitCode returns the exit code of an error. An error may wrap several; that
// which promises least about the change decides.
func exitCode(err error) int {
	switch {
	case errors.Is(err, configlog.ErrUncertain):
		return exitUnknown
	case errors.Is(err, commands.ErrWait):
		return exitUnreachable
	case errors.Is(err, configlog.ErrConflict):
		return exitConflict
	case errors.Is(err, config.ErrInvalid), errors.Is(err, errUsage), errors.Is(err, admin.ErrRefused):
		return exitUsage
	case errors.Is(err, platform.ErrUnavailable):
		return exitFailed
	case errors.Is(err, admin.ErrUnreachable):
		return exitUnreachable
	default:
		return exitFailed
	}
}
