//go:build !linux

package leaseexec

import (
	"os/exec"
	"syscall"
)

// group gives a command a process group of its own. Where this process is killed, nothing ends the command.
func group(cmd *exec.Cmd) { cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} }
