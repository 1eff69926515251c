package launcher

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/server"
)

// lookPeriod is how often the settings file is looked at for a change that no
// signal tells of.
const lookPeriod = time.Second

// reloader reads the settings file again when a signal says so, or when the
// file has changed.
type reloader struct {
	file    string
	node    *server.Server
	log     *slog.Logger
	signals <-chan os.Signal
	changed time.Time
	size    int64
}

func (l *reloader) run(ctx context.Context) {
	l.changed, l.size = l.look()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.signals:
		case <-time.After(lookPeriod):
			if changed, size := l.look(); changed.Equal(l.changed) && size == l.size {
				continue
			}
		}
		l.changed, l.size = l.look()
		l.reload()
	}
}

// look returns when the file was changed, and its size; zero when it cannot
// be told.
func (l *reloader) look() (time.Time, int64) {
	info, err := os.Stat(l.file)
	if err != nil {
		return time.Time{}, 0
	}
	return info.ModTime(), info.Size()
}

// reload keeps the settings in force when the file is not good.
func (l *reloader) reload() {
	if l.file == "" {
		return
	}
	settings, err := configurer.Load(l.file)
	if err != nil {
		l.log.Error("reload", "error", err.Error())
		return
	}
	l.node.Reload(settings)
}
