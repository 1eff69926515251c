package launcher

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/server"
)

// pollInterval is how often the reloader checks the settings file for changes
// without a signal.
const pollInterval = time.Second

// reloader rereads the settings file on a signal or when the file has changed.
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
			if modTime, size := r.stat(); modTime.Equal(r.modTime) && size == r.size {
				continue
			}
		}
		r.modTime, r.size = r.stat()
		r.reload()
	}
}

// stat returns the modification time and size of the file, or zero values if it
// is not accessible.
func (r *reloader) stat() (time.Time, int64) {
	info, err := os.Stat(r.file)
	if err != nil {
		return time.Time{}, 0
	}
	return info.ModTime(), info.Size()
}

// reload applies the settings file. If the file is invalid, it logs the error and
// the settings in force stay.
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
