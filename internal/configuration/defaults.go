package configuration

import "time"

// SetDefaults sets what a document need not give.
func (d *Document) SetDefaults() {
	d.Retry = Retry{AllowancePerRoot: 3, EdgeShare: 0.1}
	d.Claims = Claims{
		Retention:       Duration(24 * time.Hour),
		RecordRetention: Duration(7 * 24 * time.Hour),
		KeptAnswer:      16 * KiB,
	}
	d.Quarantine = Quarantine{Crashes: 2, Hold: Duration(time.Minute)}
	d.Links = Links{BytesPerSecond: 500 * MiB, ShareForUnimportant: 0.6}
}

// SetDefaults sets what a kind need not give.
func (k *Kind) SetDefaults() {
	k.Retries = 1
	k.BodyLimit = 64 * KiB
}
