package persist

import (
	"time"

	"curlewring/internal/node/disk"
	"curlewring/internal/servers/serverdb"
	"curlewring/internal/store"
)

// Write leaves a folder as a node does that knew these servers and this list at its end. Labs and tests start from it.
func WriteFolder(folder string, servers []serverdb.Server, l serverdb.List) error {
	f, err := disk.Open(folder)
	if err != nil {
		return err
	}
	defer f.Close()
	s, _ := store.Open(f, store.Settings{})
	m, _ := serverdb.Open(s, serverdb.Settings{}, 0)
	now := time.Duration(0)
	for _, x := range servers {
		now += time.Second // rows a second are bounded
		m.Record(now, []serverdb.Observation{{Server: x, FromDiscovery: true}})
	}
	now += time.Minute
	m.RecordConfirmation(now, l)
	m.WritePending(now)
	return s.Close(now)
}
