"""Settings of one daemon, read from a TOML file."""

from amaranthbay.settings.daemon import DaemonSettings, check_settings, load_settings
