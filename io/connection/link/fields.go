package link

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxLoadCount and maxSlowdownPercent are far beyond what servers can report. Larger values would
	// overflow in sums, and stay in averages for good.
	maxLoadCount       = 1_000_000
	maxSlowdownPercent = 1_000_000
)

// parseLoad parses the load header: the numbers of running and waiting requests and of
// slots, and optionally the slowdown in percent. It returns nil if the header is malformed.
func parseLoad(header string) *Load {
	parts := strings.Split(header, ",")
	if len(parts) < 3 {
		return nil
	}
	var counts [3]int
	for i := range counts {
		v, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || v < 0 || v > maxLoadCount {
			return nil
		}
		counts[i] = v
	}
	l := &Load{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	if len(parts) > len(counts) {
		if percent, err := strconv.ParseFloat(strings.TrimSpace(parts[len(counts)]), 64); err == nil && percent > 0 && percent <= maxSlowdownPercent {
			l.Slowdown = percent / 100
		}
	}
	return l
}

// parseRateLimit parses the header in which a server names its limit. It returns false if there is
// none.
func parseRateLimit(header string) (perSecond float64, named bool) {
	if header == "" {
		return 0, false
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(header), 64)
	if err != nil {
		return math.NaN(), true
	}
	return perSecond, true
}

func keepAliveTimeout(header string) (time.Duration, bool) {
	for _, part := range strings.Split(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}

// allowedIdleTime returns how long the connection may stay idle after a response.
func allowedIdleTime(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	if timeout, ok := keepAliveTimeout(resp.Header.Get("Keep-Alive")); ok {
		return min(maxIdleTime, timeout-idleTimeMargin)
	}
	return maxIdleTime
}
