package persist

import (
	"time"

	"curlewring/internal/node/disk"
	"curlewring/internal/servers/serverdb"
	"curlewring/internal/store"
)

// WriteFolder writes a folder as a node leaves it that had these servers and this list when it
// stopped. Tests and the lab use it.
func WriteFolder(folder string, servers []serverdb.Server, l serverdb.List) error {
	f, err := disk.Open(folder)
	if err != nil {
		return err
	}
	defer f.Close()
	s, _ := store.Open(f, store.Settings{})
	m, _ := serverdb.Open(s, serverdb.Settings{}, 0)
	now := time.Duration(0)
	for _, server := range servers {
		now += time.Second // the database limits rows per second
		m.Record(now, []serverdb.Observation{{Server: server, FromDiscovery: true}})
	}
	now += time.Minute
	m.RecordConfirmation(now, l)
	m.WritePending(now)
	return s.Close(now)
}
