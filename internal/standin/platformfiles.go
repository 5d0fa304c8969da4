package standin

import (
	"context"
	"os"

	"github.com/acacialift/acacialift/internal/platform"
)

// publishChangedFiles publishes the files whose content has changed.
func (p *Platform) publishChangedFiles() error {
	files := map[platform.Kind]string{
		platform.KindConfig:    p.options.ConfigFile,
		platform.KindInstances: p.options.InstancesFile,
	}
	for kind, file := range files {
		if file == "" {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if p.publishedFiles[kind] != string(data) {
			p.publishedFiles[kind] = string(data)
			p.Publish(kind, p.revisionOf(kind, data), data)
		}
	}
	return nil
}

// watchFiles publishes changed files until the context ends. If a file cannot be read, its last content stays published.
func (p *Platform) watchFiles(ctx context.Context) {
	ticker := p.options.Clock.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			_ = p.publishChangedFiles()
		}
	}
}
