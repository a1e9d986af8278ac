package config

import (
	"fmt"
	"math"
	"strconv"
)

// readCold reads the limit of cold targets of a service.
func (r *sectionReader) readCold(s *Service) {
	s.ColdDuration = r.duration("cold")
	text := r.text("cold_per_second", "0")
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		r.addProblem("cold_per_second", text, "not a number of at least 0")
	}
	s.ColdPerSecond = n
}

// formatCold formats what readCold reads, nothing for a service without a limit.
func formatCold(s *Service) string {
	if s.ColdDuration == 0 && s.ColdPerSecond == 0 {
		return ""
	}
	return fmt.Sprintf("cold = %s\ncold_per_second = %s\n", s.ColdDuration, strconv.FormatFloat(s.ColdPerSecond, 'g', -1, 64))
}
