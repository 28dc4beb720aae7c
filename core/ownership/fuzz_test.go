package ownership

import "testing"

// Guards against an ownership record that ends the process of every node.
func FuzzOwnershipRecord(f *testing.F) {
	record, err := Record{Kind: KindClaim, Node: "n1", Incarnation: 7}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(record)
	f.Add(EncodeShare(0.8))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if r, err := Decode(data); err == nil {
			o := New(settings, 0)
			o.Observe(r, 3, 1)
			o.NextAction(2, 2)
		}
		if share, err := DecodeShare(data); err == nil {
			New(settings, 0).ObserveOwnerShare(share)
		}
	})
}
