package load

import (
	"fmt"

	"galenatrestle/internal/yamldoc"
)

// checkStreams notes what the tags cannot say.
func (w *Workload) checkStreams(source *yamldoc.Source) {
	for i, s := range w.Streams {
		path := fmt.Sprintf("streams[%d]", i)
		if _, ok := w.class(s.Class); !ok {
			source.Add(path+".class", s.Class, "is no class of this workload")
		}
		if (s.Model == "") == (s.Service == nil) {
			source.Add(path+".model", s.Model, "want either model or service")
		}
		if s.Service == nil && s.Prompt.Median == 0 {
			source.Add(path+".prompt", "", "is required with model")
		}
		for j := 1; j < len(s.Rate); j++ {
			if s.Rate[j].At <= s.Rate[j-1].At {
				source.Add(fmt.Sprintf("%s.rate[%d].at", path, j), s.Rate[j].At.String(), "want growing times")
			}
		}
	}
}
