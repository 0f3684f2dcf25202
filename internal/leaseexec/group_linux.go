package leaseexec

import (
	"os/exec"
	"syscall"
)

// setProcessGroup gives a command a process group of its own, and makes the kernel kill it when
// this process ends, however that happens.
func setProcessGroup(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
