package server

import (
	"github.com/primrosewall/primrosewall/pkg/enforcer"
	"github.com/primrosewall/primrosewall/pkg/quarantiner"
	"github.com/primrosewall/primrosewall/pkg/withdrawer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// source is what the gossip tells about this node and hears for it.
type source struct {
	config     *enforcer.Enforcer
	withdrawn  *withdrawer.Withdrawer
	quarantine *quarantiner.Quarantiner
	fetcher    *fetcher
	fail       func(event string, err error)
}

// Version implements gossiper.Source.
func (s *source) Version() uint64 { return s.config.Current().Version() }

// Hear implements gossiper.Source.
func (s *source) Hear(version uint64, address string) { s.fetcher.want(version, address) }

// Merge implements gossiper.Source.
func (s *source) Merge(withdrawn [][]byte, suspects []*control.Suspect) ([][]byte, []*control.Suspect) {
	var fresh [][]byte
	if len(withdrawn) > 0 {
		var err error
		if fresh, err = s.withdrawn.Add(withdrawn); err != nil {
			s.fail("withdrawn_save", err)
		}
	}
	return fresh, s.quarantine.Merge(suspects)
}

// Digest implements gossiper.News.
func (s *source) Digest() uint64 { return s.withdrawn.Digest() ^ s.quarantine.Digest() }

// All implements gossiper.News.
func (s *source) All() ([][]byte, []*control.Suspect) {
	return s.withdrawn.All(), s.quarantine.All()
}
