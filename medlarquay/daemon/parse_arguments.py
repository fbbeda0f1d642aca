"""Parsing of settings from flags and environment variables."""

import argparse
import os
from collections.abc import Mapping, Sequence

from medlarquay import errors
from medlarquay.daemon import (
    node_settings,
    parse_settings,
    setting,
    setting_list,
)

__all__ = ('parse_arguments',)


def parse_arguments(
    arguments: Sequence[str] | None = None,
    *,
    environment: Mapping[str, str] = os.environ,
) -> node_settings.NodeSettings:
    """Parse the settings; print the problem and exit with code 2 on a bad one.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command line without the program's name; that of the process if left
        out.
    environment : Mapping
        Environment variables; a flag takes precedence over its variable.
    """
    parser = argparse.ArgumentParser(
        prog='medlarquayd',
        description='Node of the medlarquay service mesh.',
    )
    _add_flags(parser)
    flags = parser.parse_args(arguments)
    texts = {
        option.field: getattr(flags, option.field)
        or _from_environment(option, environment)
        for option in setting_list.SETTINGS
    }
    try:
        return parse_settings.parse_settings(texts)
    except errors.SettingError as failure:
        parser.error(str(failure))


def _add_flags(parser: argparse.ArgumentParser) -> None:
    for option in setting_list.SETTINGS:
        default = option.default or 'none'
        if option.default is None:
            default = 'required'
        parser.add_argument(
            option.flag,
            action='append',
            dest=option.field,
            help=f'{option.summary} ({option.variable}; default: {default})',
        )


def _from_environment(
    option: setting.Setting,
    environment: Mapping[str, str],
) -> list[str]:
    text = environment.get(option.variable, option.default)
    if text is None:
        return []
    if option.repeated:
        return [part.strip() for part in text.split(',') if part.strip()]
    return [text]
