"""The daemon: connects the parts, starts them and stops them gracefully."""

from amaranthbay.daemon.process import Daemon, run_daemon
