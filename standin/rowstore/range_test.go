package rowstore

import (
	"encoding/json"
	"net/http/httptest"
	"net/url"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a stand-in that answers a read of one row with the whole table: what reads one row then is tested
// against answers that the store never gives.
func TestReadsOfKeyRanges(t *testing.T) {
	Convey("A read shows the keys from one on and before another", t, func() {
		store := New()
		for _, key := range []string{"a", "b", "c"} {
			store.Put("t", key, nil)
		}
		keys := func(from, to string) []string {
			recorder := httptest.NewRecorder()
			query := url.Values{"table": {"t"}, "from": {from}, "to": {to}}
			store.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/rows-get?"+query.Encode(), nil))
			var answer struct{ Rows []Row }
			So(json.Unmarshal(recorder.Body.Bytes(), &answer), ShouldBeNil)
			list := []string{}
			for _, row := range answer.Rows {
				list = append(list, row.Key)
			}
			return list
		}
		So(keys("", ""), ShouldResemble, []string{"a", "b", "c"})
		So(keys("b", ""), ShouldResemble, []string{"b", "c"})
		So(keys("b", "b\x00"), ShouldResemble, []string{"b"})
		So(keys("bb", "c"), ShouldResemble, []string{})
	})
}
