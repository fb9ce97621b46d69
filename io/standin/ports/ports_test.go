package ports

import (
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against two processes that get the same address before either listens on it.
func TestAddressesOfSeveralProcesses(t *testing.T) {
	Convey("Two processes that begin at the same block get different addresses, also in later blocks", t, func() {
		a, b := allocator{firstBlock: blocks - 1}, allocator{firstBlock: blocks - 1}
		defer a.close()
		defer b.close()
		owners := map[string]*allocator{}
		for range 2*blockSize + 10 {
			for _, process := range []*allocator{&a, &b} {
				address, err := process.free()
				So(err, ShouldBeNil)
				So(owners[address], ShouldBeNil)
				owners[address] = process
			}
		}
	})
}

// Guards against an address on which another program listens.
func TestAddressesInUse(t *testing.T) {
	Convey("A port that is in use is passed over", t, func() {
		a := allocator{}
		defer a.close()
		_, err := a.free()
		So(err, ShouldBeNil)
		used, err := net.Listen("tcp", loopback(portOf(a.claimed[0])+2))
		So(err, ShouldBeNil)
		defer func() { _ = used.Close() }()
		address, err := a.free()
		So(err, ShouldBeNil)
		So(address, ShouldNotEqual, used.Addr().String())
	})
}

func (a *allocator) close() {
	for _, l := range a.claimed {
		_ = l.Close()
	}
}
