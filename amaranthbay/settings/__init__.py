"""Settings of one daemon, read from a TOML file."""

from amaranthbay.settings.daemon import DaemonSettings, load_settings
