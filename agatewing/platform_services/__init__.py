"""Clients of the services that the platform gives."""

from agatewing.platform_services._instance_list import InstanceList
from agatewing.platform_services._instance_list import InstanceListClient
from agatewing.platform_services._instance_list import ListedInstance
from agatewing.platform_services._log_client import LogClient
from agatewing.platform_services._log_client import LogPage
from agatewing.platform_services._log_client import LogRecord
