//go:build !linux

package leaseexec

import (
	"os/exec"
	"syscall"
)

// setProcessGroup gives a command a process group of its own. If this process is killed, the
// command keeps running.
func setProcessGroup(cmd *exec.Cmd) { cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} }
