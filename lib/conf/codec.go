package conf

// MaxRecord is the largest record or checkpoint that is decoded.
const MaxRecord = 1 << 20

// NewProposal checks a proposal as every host will, and returns its record. It fails with *InvalidError.
func NewProposal(p Proposal) ([]byte, error) { return nil, nil }

// ParseItem parses the text form of an item. It fails with *InvalidError.
func ParseItem(text string) (Item, error) { return Item{}, nil }
