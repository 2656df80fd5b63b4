package rowstore

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// get returns the status, the era and the rows of an answer.
func get(s *Store, target string) (status int, era string, rows []Row) {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
	var answer struct {
		Rows []Row `json:"rows"`
	}
	// Answers without a body have no rows.
	_ = json.NewDecoder(w.Body).Decode(&answer)
	return w.Code, w.Header().Get(eraHeader), answer.Rows
}

// Guards against a stand-in that doesn't lose what the users' store loses in a drill.
func TestRestore(t *testing.T) {
	Convey("After a restore, later writes are gone, versions are given out again, and the era rises", t, func() {
		s := New()
		s.Put("t", "kept", []byte("1"))
		s.Put("t", "removed", []byte("1"))
		time.Sleep(20 * time.Millisecond)
		s.Put("t", "kept", []byte("2"))
		s.Put("t", "lost", []byte("1"))
		s.Delete("t", "removed")
		s.Restore(10 * time.Millisecond)
		status, era, rows := get(s, "/rows-get?table=t")
		So(status, ShouldEqual, http.StatusOK)
		So(era, ShouldEqual, "2")
		So(rows, ShouldResemble, []Row{
			{Table: "t", Key: "kept", Value: []byte("1"), Version: 1}, {Table: "t", Key: "removed", Value: []byte("1"), Version: 2},
		})
		status, _, _ = get(s, "/rows-feed?table=t&since_rev=5&wait_ms=0")
		So(status, ShouldEqual, http.StatusGone)
		s.Put("t", "new", nil)
		_, _, rows = get(s, "/rows-feed?table=t&since_rev=2&wait_ms=0")
		So(len(rows), ShouldEqual, 1)
		So(rows[0].Version, ShouldEqual, 3)
		s.Restore(0)
		_, era, _ = get(s, "/rows-get?table=t")
		So(era, ShouldEqual, "3")
	})
}
