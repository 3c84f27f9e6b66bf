package edge

import (
	"galenatrestle/internal/placement"
	"galenatrestle/internal/settings"
)

// admitServices turns on the admission of plain services if the settings have it.
func admitServices(placer *placement.Placer, s *settings.ServiceAdmission) {
	if s != nil {
		placer.SetServiceAdmission(placement.ServiceAdmission{ShortQueue: s.ShortQueue})
	}
}
