package config

import "go.uber.org/fx"

// Module provides Store. It needs platform.KeyValue and a logger.
var Module = fx.Module("config", fx.Provide(NewStore))
