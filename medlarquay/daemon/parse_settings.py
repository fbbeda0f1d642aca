"""Parsing and validation of the daemon's settings."""

from collections.abc import Mapping, Sequence
from typing import Any

from medlarquay import errors
from medlarquay.daemon import node_settings, setting, setting_list

__all__ = ('parse_settings',)

_STEP = 'check settings'


def parse_settings(
    texts: Mapping[str, Sequence[str]],
) -> node_settings.NodeSettings:
    """Parse and validate the settings of a node.

    Parameters
    ----------
    texts : Mapping
        Texts of each setting by its field; several if its flag was repeated.

    Raises
    ------
    SettingError
        If a text is invalid, a required setting is missing, or two settings
        contradict each other.
    """
    fields: dict[str, Any] = {
        option.field: _parse(option, texts[option.field])
        for option in setting_list.SETTINGS
    }
    settings = node_settings.NodeSettings(**fields)
    ports = (settings.caller_port, settings.peer_port, settings.admin_port)
    if len(set(ports)) < len(ports):
        raise errors.SettingError(
            '--caller-port, --peer-port and --admin-port must differ',
            step=_STEP,
        )
    return settings


def _parse(option: setting.Setting, texts: Sequence[str]) -> object:
    if option.repeated:
        return tuple(_parse_text(option, text) for text in texts)
    if texts:
        # As usual on a command line, the last of several flags applies.
        return _parse_text(option, texts[-1])
    raise errors.SettingError(f'{_label(option)} is required', step=_STEP)


def _parse_text(option: setting.Setting, text: str) -> object:
    try:
        return option.parse(text)
    except ValueError as cause:
        raise errors.SettingError(
            f'{_label(option)} is {text!r}: {cause}',
            step=_STEP,
        ) from cause


def _label(option: setting.Setting) -> str:
    return f'{option.flag} ({option.variable})'
