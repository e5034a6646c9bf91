"""Leases, orders to engines, role plans and configuration of an instance."""

from agatewing.control._config_keeper import ConfigKeeper
from agatewing.control._config_keeper import SnapshotWriter
from agatewing.control._leases import HeldLease
from agatewing.control._leases import LeaseKeeper
from agatewing.control._orders import OrderKeeper
from agatewing.control._role_loop import lease_of
from agatewing.control._role_loop import RoleLoop
