package configuration

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/tailscale/hujson"
)

// shownDigestBytes is how much of the SHA-256 of a key is shown in its place: enough to
// tell the keys of a user apart, too little to recover one.
const shownDigestBytes = 4

// HideKeys replaces each key of a customer in a text by the beginning of its SHA-256, as
// in "key-5f0c31aa", so that the text can be shown. Comments and layout stay.
func HideKeys(text []byte) ([]byte, error) {
	root, err := hujson.Parse(append([]byte(nil), text...))
	if err != nil {
		return nil, fmt.Errorf("parse the configuration: %w", err)
	}
	hideKeys(root)
	return root.Pack(), nil
}

func hideKeys(root hujson.Value) {
	document, ok := root.Value.(*hujson.Object)
	if !ok {
		return
	}
	customers, ok := memberValues(document)["customers"].Value.(*hujson.Object)
	if !ok {
		return
	}
	for _, entry := range customers.Members {
		hideKeysOf(entry.Value)
	}
}

func hideKeysOf(value hujson.Value) {
	customer, ok := value.Value.(*hujson.Object)
	if !ok {
		return
	}
	keys, ok := memberValues(customer)["keys"].Value.(*hujson.Array)
	if !ok {
		return
	}
	for index := range keys.Elements {
		keys.Elements[index].Value = hiddenKey(keys.Elements[index].Value)
	}
}

func hiddenKey(value hujson.ValueTrimmed) hujson.ValueTrimmed {
	var key string
	literal, ok := value.(hujson.Literal)
	if !ok || json.Unmarshal(literal, &key) != nil {
		return hujson.String("(hidden)")
	}
	digest := digestOfKey(key)
	return hujson.String("key-" + hex.EncodeToString(digest[:shownDigestBytes]))
}
