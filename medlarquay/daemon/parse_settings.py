"""Checking of the daemon's settings."""

from collections.abc import Mapping, Sequence
from typing import Any

from medlarquay import errors
from medlarquay.daemon import node_settings, setting, setting_list

__all__ = ('parse_settings',)

_STEP = 'check settings'


def parse_settings(
    texts: Mapping[str, Sequence[str]],
) -> node_settings.NodeSettings:
    """Return the settings that texts stand for.

    Parameters
    ----------
    texts : Mapping
        Texts of each setting by its field.

    Raises
    ------
    SettingError
        If a text breaks a rule or settings contradict each other.
    """
    fields: dict[str, Any] = {
        option.field: _parse(option, texts[option.field])
        for option in setting_list.SETTINGS
    }
    found = node_settings.NodeSettings(**fields)
    ports = (found.caller_port, found.peer_port, found.admin_port)
    if len(set(ports)) < len(ports):
        raise errors.SettingError(
            '--caller-port, --peer-port and --admin-port must differ',
            step=_STEP,
        )
    return found


def _parse(option: setting.Setting, texts: Sequence[str]) -> object:
    if option.repeated:
        return tuple(_parse_text(option, text) for text in texts)
    if texts:
        # As usual, the last of several flags is in force.
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
