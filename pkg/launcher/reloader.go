package launcher

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/server"
)

// pollInterval is how often the settings file is looked at for a change that no
// signal tells of.
const pollInterval = time.Second

// reloader reads the settings file again when a signal says so, or when the
// file has changed.
type reloader struct {
	file    string
	node    *server.Server
	log     *slog.Logger
	signals <-chan os.Signal
	modTime time.Time
	size    int64
}

func (r *reloader) run(ctx context.Context) {
	r.modTime, r.size = r.stat()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.signals:
		case <-time.After(pollInterval):
			if changed, size := r.stat(); changed.Equal(r.modTime) && size == r.size {
				continue
			}
		}
		r.modTime, r.size = r.stat()
		r.reload()
	}
}

// stat returns when the file was changed, and its size; zero when it cannot
// be told.
func (r *reloader) stat() (time.Time, int64) {
	info, err := os.Stat(r.file)
	if err != nil {
		return time.Time{}, 0
	}
	return info.ModTime(), info.Size()
}

// reload keeps the settings in force when the file is not good.
func (r *reloader) reload() {
	if r.file == "" {
		return
	}
	settings, err := configurer.Load(r.file)
	if err != nil {
		r.log.Error("reload", "error", err.Error())
		return
	}
	r.node.Reload(settings)
}
