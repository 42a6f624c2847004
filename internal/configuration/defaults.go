package configuration

import "time"

// SetDefaults sets the values of the optional fields of a document.
func (document *Document) SetDefaults() {
	document.Retry = Retry{AllowancePerRoot: 3, EdgeShare: 0.1}
	document.Claims = Claims{
		Retention:       Duration(24 * time.Hour),
		RecordRetention: Duration(7 * 24 * time.Hour),
		KeptAnswer:      16 * KiB,
	}
	document.Quarantine = Quarantine{Hold: Duration(time.Minute)}
	document.Limits.SetDefaults()
	document.Links = Links{BytesPerSecond: 500 * MiB, ShareForUnimportant: 0.6}
}

// SetDefaults sets the values of the optional fields of a kind.
func (kind *Kind) SetDefaults() {
	kind.Retries = 1
	kind.BodyLimit = 64 * KiB
}
