"""Prove where the executable file unpacks and that a bad cache is named."""

import contextlib
import io
import pathlib
import tempfile
import unittest
import unittest.mock
import zipfile

from binary import start


class TestCacheFolder(unittest.TestCase):
    """Choose the folder from variable, settings and the file's own place."""

    def setUp(self) -> None:
        """Make a scratch folder."""
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self._folder = pathlib.Path(scratch.name)
        self._settings = self._folder / 'settings.json'

    def _choose(self, text: str, **environment: str) -> str:
        self._settings.write_text(text)
        archive = pathlib.Path('/opt/tamarackthread')
        arguments = ['control', f'--settings={self._settings}']
        chosen = start.cache_folder(archive, arguments, environment)
        return str(chosen)

    def test_order(self) -> None:
        """The variable wins, then cache_folder, data_folder, the own place."""
        data = '"control": {"data_folder": "/data"}'
        both = f'{{"cache_folder": "/cache", {data}}}'
        self.assertEqual(
            self._choose(both, TAMARACKTHREAD_CACHE='/mine'), '/mine'
        )
        self.assertEqual(self._choose(both), '/cache')
        self.assertEqual(self._choose(f'{{{data}}}'), '/data/cache')
        self.assertEqual(self._choose('{}'), '/opt/tamarackthread.cache')
        self.assertEqual(self._choose('"cache'), '/opt/tamarackthread.cache')

    def test_other_ways_to_the_settings(self) -> None:
        """Settings may come by the environment, and paths may be relative."""
        self._settings.write_text('{"cache_folder": "here"}')
        environment = {start.SETTINGS_VARIABLE: str(self._settings)}
        archive = pathlib.Path('/opt/tamarackthread')
        chosen = start.cache_folder(archive, ['status'], environment)
        self.assertEqual(chosen, self._folder / 'here')

    def test_comments(self) -> None:
        """A key in a comment or in another string isn't the setting."""
        text = r"""{
            // "cache_folder": "/line",
            /* "cache_folder": "/block", */
            "note": "\"cache_folder\": \"/string\" // {",
            "cache_folder" /* here */ : "/right\u002fone",
        }"""
        self.assertEqual(self._choose(text), '/right/one')

    def test_settings_argument(self) -> None:
        """Each way to write the option is understood."""
        for given in (
            ['--settings', 'b'],
            ['--settings=b'],
            ['-s', 'b'],
            ['-sb'],
        ):
            self.assertEqual(start.settings_path(['entry', *given]), 'b')
        self.assertEqual(start.settings_path(['a', '--settings']), '')


class TestUnpack(unittest.TestCase):
    """Unpack a small archive."""

    def setUp(self) -> None:
        """Write an archive with one library."""
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self._folder = pathlib.Path(scratch.name)
        self._archive = self._folder / 'archive'
        self._cache = self._folder / 'deep' / 'cache'
        with zipfile.ZipFile(self._archive, 'w') as opened:
            opened.writestr(start.BUILD_FILE, 'b1')
            opened.writestr('libraries/one.py', 'ONE = 1')

    def test_unpacked_once(self) -> None:
        """The second start reads what the first one wrote."""
        libraries = start.unpack(self._archive, self._cache)
        (libraries / 'one.py').write_text('kept')
        again = start.unpack(self._archive, self._cache)
        self.assertEqual((again / 'one.py').read_text(), 'kept')
        self.assertEqual(len(list(self._cache.iterdir())), 1)

    def test_killed_while_unpacking(self) -> None:
        """A process was killed while it unpacked.

        What it wrote has no final name, so the next start doesn't take the
        half of it for the whole and unpacks anew.
        """
        half = self._cache / 'unpacking-b1-1' / start.LIBRARIES
        half.mkdir(parents=True)
        libraries = start.unpack(self._archive, self._cache)
        self.assertTrue((libraries / 'one.py').is_file())

    def test_two_at_once(self) -> None:
        """Two processes unpack at once and the other renames first.

        The rename fails because the name is taken; the loser uses what the
        winner wrote, which is the same build, and removes its own.
        """
        other = self._cache / 'tamarackthread-b1'

        def win() -> None:
            (other / start.LIBRARIES).mkdir(parents=True)

        with unittest.mock.patch('os.sync', win):
            libraries = start.unpack(self._archive, self._cache)
        self.assertEqual(libraries, other / start.LIBRARIES)
        self.assertEqual(list(self._cache.iterdir()), [other])

    def test_unwritable(self) -> None:
        """The cache folder can't be made because a file has its name.

        The operator sees one sentence that names the folder and both ways to
        name another, and the exit code of a file that can't be created.
        """
        self._cache.parent.write_text('a file')
        shown = io.StringIO()
        environment = {start.CACHE_VARIABLE: str(self._cache)}
        with (
            unittest.mock.patch('sys.argv', [str(self._archive), 'entry']),
            unittest.mock.patch.dict('os.environ', environment),
            contextlib.redirect_stderr(shown),
        ):
            self.assertEqual(start.main(), start.EXIT_REFUSED)
        self.assertIn(f'{self._cache}: Not a directory', shown.getvalue())
        self.assertIn('cache_folder', shown.getvalue())
