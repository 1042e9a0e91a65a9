package proxy

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// dropHandshakes has the kernel drop every packet for a listening socket, with a
// filter that keeps none. It needs no privileges.
func dropHandshakes(fd int) error {
	none := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K} // keep 0 bytes
	program := unix.SockFprog{Len: 1, Filter: &none}
	_, _, errno := unix.Syscall6(unix.SYS_SETSOCKOPT, uintptr(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		uintptr(unsafe.Pointer(&program)), unsafe.Sizeof(program), 0)
	if errno != 0 {
		return errno
	}
	return nil
}
