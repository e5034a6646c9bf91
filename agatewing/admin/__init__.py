"""The administration API."""

from agatewing.admin._app import AdminApp
from agatewing.admin._app import Backend
from agatewing.admin._auth import Authorizer
from agatewing.admin._views import EventPage
from agatewing.admin._views import InstanceView
from agatewing.admin._views import LeaseView
from agatewing.admin._views import OrderView
from agatewing.admin._views import StatusView
from agatewing.admin._views import TargetView
