package trialer

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
)

// Ways are what a plan can be run against.
const (
	// ModeNodes is the system itself.
	ModeNodes = "nodes"
	// ModeBare is targets without any node, with retrying callers.
	ModeBare = "bare"
)

// Run runs a plan against one way and returns its figures.
func Run(ctx context.Context, p *Plan, way string, seed uint64) (*Report, error) {
	begin := startNodes
	switch way {
	case ModeNodes:
	case ModeBare:
		begin = startBare
	default:
		return nil, fmt.Errorf("way %q is not known; nodes or bare would be right", way)
	}
	f, err := begin(ctx, p)
	if err != nil {
		return nil, err
	}
	defer f.close()
	return report(p, way, drive(ctx, f, seed)), nil
}

// Save writes reports as JSON and one plot for each.
func Save(folder string, reports []*Report) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("save reports: %w", err)
	}
	for _, r := range reports {
		if math.IsInf(r.Recovery, 0) {
			// JSON has no infinity; the run ended before the recovery.
			r.Recovery = math.MaxInt32
		}
		text, err := json.MarshalIndent(r, "", " ")
		if err != nil {
			return fmt.Errorf("encode report: %w", err)
		}
		base := filepath.Join(folder, r.Name+"-"+r.Mode)
		if err := os.WriteFile(base+".json", text, 0o644); err != nil {
			return fmt.Errorf("save report: %w", err)
		}
		if err := os.WriteFile(base+".svg", plot(r), 0o644); err != nil {
			return fmt.Errorf("save plot: %w", err)
		}
	}
	return nil
}
