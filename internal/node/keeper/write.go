package keeper

import (
	"time"

	"curlewring/internal/node/disk"
	"curlewring/internal/servers/recall"
	"curlewring/internal/store"
)

// Write leaves a folder as a node does that knew these servers and this list at its end. Labs and tests start from it.
func Write(folder string, servers []recall.Server, l recall.List) error {
	f, err := disk.Open(folder)
	if err != nil {
		return err
	}
	defer f.Close()
	s, _ := store.Open(f, store.Settings{})
	m, _ := recall.Open(s, recall.Settings{}, 0)
	now := time.Duration(0)
	for _, x := range servers {
		now += time.Second // rows a second are bounded
		m.Take(now, []recall.Note{{Server: x, Told: true}})
	}
	now += time.Minute
	m.Confirm(now, l)
	m.Catch(now)
	return s.Close(now)
}
