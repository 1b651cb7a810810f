package tshostile_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// sampleInterval is the time between two measurements of a process.
const sampleInterval = 4 * time.Millisecond

// usage is what a process holds of its machine.
type usage struct {
	residentBytes, socketBytes int64
	descriptors                int
}

// total is the memory that counts against the machine's: resident pages, and bytes that wait in the
// kernel to be read or to be sent.
func (u usage) total() int64 { return u.residentBytes + u.socketBytes }

// sampler records the peaks of a process's usage until it is stopped.
type sampler struct {
	pid, port int
	// serverPort is the port of a backend server, 0 for none. The buffers of connections to it
	// count as well.
	serverPort int
	stop       chan struct{}
	done       chan struct{}

	peak usage
	// peakTotal is the largest total at one time.
	peakTotal int64
	err       error
}

// startSampler samples the process until stopped. port is the caller port, whose sockets' buffers
// count.
func startSampler(pid, port int) *sampler { return startSamplerWith(pid, port, 0) }

// startSamplerWith is startSampler with the port of a backend server, whose connections count.
func startSamplerWith(pid, port, serverPort int) *sampler {
	s := &sampler{pid: pid, port: port, serverPort: serverPort, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for {
			s.sample()
			select {
			case <-s.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return s
}

func (s *sampler) sample() {
	buffered, err := socketBytes(s.port, 0)
	if err == nil && s.serverPort != 0 {
		var fromServers int64
		fromServers, err = socketBytes(0, s.serverPort)
		buffered += fromServers
	}
	if err != nil {
		s.err = err
	}
	u := usage{residentBytes: residentBytes(s.pid), socketBytes: buffered, descriptors: descriptorCount(s.pid)}
	s.peak.residentBytes = max(s.peak.residentBytes, u.residentBytes)
	s.peak.socketBytes = max(s.peak.socketBytes, u.socketBytes)
	s.peak.descriptors = max(s.peak.descriptors, u.descriptors)
	s.peakTotal = max(s.peakTotal, u.total())
}

// finish stops the sampling and waits for its end.
func (s *sampler) finish(t *testing.T) {
	close(s.stop)
	<-s.done
	assert.NilError(t, s.err)
}

// residentBytes returns the resident memory of a process; 0 if it has ended.
func residentBytes(pid int) (n int64) {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range bytes.Lines(data) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			_, _ = fmt.Sscan(string(rest), &n)
		}
	}
	return n << 10
}

// descriptorCount returns the number of open descriptors of a process; 0 if it has ended.
func descriptorCount(pid int) int {
	d, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = d.Close() }()
	names, _ := d.Readdirnames(-1)
	return len(names)
}

const (
	// sockDiagByFamily, inetDiagSkMemInfo and the request's size are those of linux/inet_diag.h.
	sockDiagByFamily  = 20
	inetDiagSkMemInfo = 7
	diagRequestBytes  = 56
	diagAnswerBytes   = 72
	attrHeaderBytes   = 4
	// The places in the attribute are those of linux/sock_diag.h.
	skMemInfoReceived = 0
	skMemInfoQueued   = 5
	memInfoBytes      = 4
)

// socketBytes returns the memory that the kernel holds for bytes that are not read yet, or not
// received by the peer, in all TCP sockets of a local and of a remote port; 0 stands for any.
func socketBytes(port, remotePort int) (int64, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0, err
	}
	defer func() { _ = unix.Close(fd) }()
	var sum int64
	for _, family := range []byte{unix.AF_INET, unix.AF_INET6} {
		n, err := socketBytesOf(fd, family, port, remotePort)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

func socketBytesOf(fd int, family byte, port, remotePort int) (sum int64, err error) {
	order := binary.NativeEndian
	req := make([]byte, unix.NLMSG_HDRLEN+diagRequestBytes)
	order.PutUint32(req, uint32(len(req)))
	order.PutUint16(req[4:], sockDiagByFamily)
	order.PutUint16(req[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	body := req[unix.NLMSG_HDRLEN:]
	body[0], body[1], body[2] = family, unix.IPPROTO_TCP, 1<<(inetDiagSkMemInfo-1)
	order.PutUint32(body[4:], ^uint32(0))
	binary.BigEndian.PutUint16(body[8:], uint16(port))
	binary.BigEndian.PutUint16(body[10:], uint16(remotePort))
	if err := unix.Sendto(fd, req, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, err
	}
	buf := make([]byte, 64<<10)
	for {
		n, _, err := unix.Recvfrom(fd, buf, 0)
		if err != nil {
			return 0, err
		}
		for msg := buf[:n]; len(msg) >= unix.NLMSG_HDRLEN; {
			size := int(order.Uint32(msg))
			if size < unix.NLMSG_HDRLEN || size > len(msg) {
				return 0, unix.EBADMSG
			}
			switch order.Uint16(msg[4:]) {
			case unix.NLMSG_DONE:
				return sum, nil
			case unix.NLMSG_ERROR:
				return 0, unix.EIO
			}
			if payload := msg[unix.NLMSG_HDRLEN:size]; len(payload) > diagAnswerBytes {
				sum += heldBytes(payload[diagAnswerBytes:])
			}
			msg = msg[min((size+3)&^3, len(msg)):]
		}
	}
}

// heldBytes returns the memory of one socket from its attributes.
func heldBytes(attrs []byte) int64 {
	order := binary.NativeEndian
	for len(attrs) >= attrHeaderBytes {
		size := int(order.Uint16(attrs))
		if size < attrHeaderBytes || size > len(attrs) {
			return 0
		}
		if order.Uint16(attrs[2:]) == inetDiagSkMemInfo && size >= attrHeaderBytes+memInfoBytes*(skMemInfoQueued+1) {
			info := attrs[attrHeaderBytes:]
			return int64(order.Uint32(info[memInfoBytes*skMemInfoReceived:])) + int64(order.Uint32(info[memInfoBytes*skMemInfoQueued:]))
		}
		attrs = attrs[min((size+3)&^3, len(attrs)):]
	}
	return 0
}
