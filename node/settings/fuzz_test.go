package settings

import "testing"

// FuzzParse guards against a settings file that stops the process instead of being rejected with the name of the field.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"id":"n","ip":"10.0.0.1","zone":"z","ports":[7600,7615],"store":"10.0.0.2:1","zones":{"z":"r"},` +
		`"listen":{"callers":"10.0.0.1:1","ready":"10.0.0.1:2"},"rules":{"revoke_ms":5000}}`))
	f.Add([]byte(`{"ports":[],"rules":{"grace_s":-1e308}}`))
	f.Add([]byte(`{"ports":[7600]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			return
		}
		_ = s.PeerAddress()
		_ = s.MetricsAddress()
	})
}
