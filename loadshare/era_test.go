package loadshare

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/wigeonfork/wigeonfork/storepos"
)

// Guards against datagrams of builds without eras that can't be read.
func TestUpdatesOfBuildsWithoutEras(t *testing.T) {
	from := netip.MustParseAddrPort("10.0.0.1:7340")
	Convey("Their positions are of era 0", t, func() {
		body, err := cbor.Marshal(map[int]any{1: 5, 2: 9})
		So(err, ShouldBeNil)
		_, update, err := ParseRegistryUpdate(append([]byte{registryUpdateVersion, 0, 0}, body...), from)
		So(err, ShouldBeNil)
		since, upTo := update.Span()
		So(since, ShouldResemble, storepos.Position{Revision: 5})
		So(upTo, ShouldResemble, storepos.Position{Revision: 9})
		body, err = cbor.Marshal(map[int]any{1: "s", 5: 7})
		So(err, ShouldBeNil)
		_, move, err := ParseMoveUpdate(append([]byte{moveUpdateVersion, 0, 0}, body...), from)
		So(err, ShouldBeNil)
		So(move.Order().Position, ShouldResemble, storepos.Position{Revision: 7})
	})
	Convey("They read the revisions of an update with eras, and one that does not fit keeps its eras", t, func() {
		update := NewRegistryUpdate(storepos.Position{Era: 1, Revision: 90}, storepos.Position{Era: 2, Revision: 40}, nil)
		datagram, err := AppendRegistryUpdate(nil, 7340, update)
		So(err, ShouldBeNil)
		var old struct {
			From uint64 `cbor:"1,keyasint"`
			To   uint64 `cbor:"2,keyasint"`
		}
		_, err = parseUpdate(datagram, from, &old)
		So(err, ShouldBeNil)
		So([]uint64{old.From, old.To}, ShouldResemble, []uint64{90, 40})
		_, parsed, err := ParseRegistryUpdate(datagram, from)
		So(err, ShouldBeNil)
		So(parsed, ShouldResemble, update)
	})
}
