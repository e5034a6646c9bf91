"""Clients of the platform's services: log and instance list."""

from agatewing.platform_services._instance_list import InstanceList
from agatewing.platform_services._instance_list import InstanceListClient
from agatewing.platform_services._instance_list import ListedInstance
from agatewing.platform_services._log_client import LogClient
from agatewing.platform_services._log_client import LogPage
from agatewing.platform_services._log_client import LogRecord
