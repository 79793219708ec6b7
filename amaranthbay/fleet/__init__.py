"""What an entry process knows: configuration, backend servers, other instances."""

from amaranthbay.fleet.backends import BackendPool
from amaranthbay.fleet.configuration import ConfigurationView
from amaranthbay.fleet.peers import Peers, Registration
from amaranthbay.fleet.reports import ServerLoad
from amaranthbay.fleet.settings import EntrySettings
from amaranthbay.fleet.tables import TableFollower, TableSource
