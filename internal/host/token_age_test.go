package host

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The pattern is a process that was paused, or suspended with its monotonic clock, while it
// waited for a token: it does not use the token.
func TestTokenFromBeforePauseIsOld(t *testing.T) {
	asked := time.Now()
	// Without a monotonic reading only the time of day tells the age.
	suspended := asked.Round(0)
	cases := []struct {
		name       string
		began, now time.Time
		old        bool
	}{
		{"at once", asked, asked.Add(time.Millisecond), false},
		{"slow answer", asked, asked.Add(tokenLifetime), false},
		{"paused", asked, asked.Add(tokenLifetime + time.Millisecond), true},
		{"suspended", suspended, suspended.Add(4 * time.Second), true},
		{"time of day set back", suspended, suspended.Add(-4 * time.Second), true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(isOlderThan(test.began, test.now, tokenLifetime)).To(gomega.Equal(test.old))
		})
	}
}
