package configuration

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Units of [Bytes].
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

var byteUnits = []struct {
	suffix string
	size   Bytes
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// UnmarshalJSON decodes a duration from a string such as "250ms" or "4s".
func (duration *Duration) UnmarshalJSON(text []byte) error {
	var word string
	if err := json.Unmarshal(text, &word); err != nil {
		return fmt.Errorf("%s is not a duration; write a string such as \"250ms\" or \"4s\"", text)
	}
	parsed, err := time.ParseDuration(word)
	if err != nil {
		return fmt.Errorf("%q is not a duration; write a string such as \"250ms\" or \"4s\"", word)
	}
	*duration = Duration(parsed)
	return nil
}

// MarshalJSON encodes the duration as a string.
func (duration Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(duration).String())
}

// UnmarshalJSON decodes a size from a number of bytes or a string such as "32MiB".
func (bytes *Bytes) UnmarshalJSON(text []byte) error {
	var number int64
	if json.Unmarshal(text, &number) == nil {
		*bytes = Bytes(number)
		return nil
	}
	var word string
	if err := json.Unmarshal(text, &word); err != nil {
		return fmt.Errorf("%s is not a size; write a number of bytes or a string such as \"32MiB\"", text)
	}
	parsed, ok := parseBytes(word)
	if !ok {
		return fmt.Errorf("%q is not a size; write a number of bytes or a string such as \"32MiB\"", word)
	}
	*bytes = parsed
	return nil
}

func parseBytes(word string) (Bytes, bool) {
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(word, unit.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || number < 0 || number > int64(1<<62/unit.size) {
			return 0, false
		}
		return Bytes(number) * unit.size, true
	}
	return 0, false
}

// String formats the size in the largest unit that divides it.
func (bytes Bytes) String() string {
	for _, unit := range byteUnits {
		if bytes != 0 && bytes%unit.size == 0 {
			return strconv.FormatInt(int64(bytes/unit.size), 10) + unit.suffix
		}
	}
	return strconv.FormatInt(int64(bytes), 10) + "B"
}

// MarshalJSON encodes the size as a string.
func (bytes Bytes) MarshalJSON() ([]byte, error) {
	return json.Marshal(bytes.String())
}
