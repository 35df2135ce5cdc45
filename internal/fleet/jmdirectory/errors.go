package jmdirectory

import (
	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
)

func isHistoryGone(err error) bool { return eris.Is(err, jasminemoor.ErrHistoryGone) }
