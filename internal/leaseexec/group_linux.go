package leaseexec

import (
	"os/exec"
	"syscall"
)

// group gives a command a process group of its own, and has the kernel end it with this process, however that ends.
func group(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
