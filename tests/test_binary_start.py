"""Test where the executable file unpacks and its error on a bad cache folder."""

import contextlib
import io
import pathlib
import tempfile
import unittest
import unittest.mock
import zipfile

from binary import start


class TestCacheFolder(unittest.TestCase):
    """Test the choice of the cache folder and its precedence."""

    def setUp(self) -> None:
        """Create a temporary folder."""
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
        """The variable wins, then cache_folder, data_folder, the archive path."""
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
        """The environment may name the settings, and paths may be relative."""
        self._settings.write_text('{"cache_folder": "here"}')
        environment = {start.SETTINGS_VARIABLE: str(self._settings)}
        archive = pathlib.Path('/opt/tamarackthread')
        chosen = start.cache_folder(archive, ['status'], environment)
        self.assertEqual(chosen, self._folder / 'here')

    def test_comments(self) -> None:
        """A key inside a comment or another string is ignored."""
        text = r"""{
            // "cache_folder": "/line",
            /* "cache_folder": "/block", */
            "note": "\"cache_folder\": \"/string\" // {",
            "cache_folder" /* here */ : "/right\u002fone",
        }"""
        self.assertEqual(self._choose(text), '/right/one')

    def test_settings_argument(self) -> None:
        """Each spelling of the option is accepted."""
        for given in (
            ['--settings', 'b'],
            ['--settings=b'],
            ['-s', 'b'],
            ['-sb'],
        ):
            self.assertEqual(start.settings_path(['entry', *given]), 'b')
        self.assertEqual(start.settings_path(['a', '--settings']), '')


class TestUnpack(unittest.TestCase):
    """Test unpacking a small archive."""

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
        """The second start reuses the cache of the first."""
        libraries = start.unpack(self._archive, self._cache)
        (libraries / 'one.py').write_text('kept')
        again = start.unpack(self._archive, self._cache)
        self.assertEqual((again / 'one.py').read_text(), 'kept')
        self.assertEqual(len(list(self._cache.iterdir())), 1)

    def test_killed_while_unpacking(self) -> None:
        """A partial unpack by a killed process is not used as the cache."""
        half = self._cache / 'unpacking-b1-1' / start.LIBRARIES
        half.mkdir(parents=True)
        libraries = start.unpack(self._archive, self._cache)
        self.assertTrue((libraries / 'one.py').is_file())

    def test_two_at_once(self) -> None:
        """A process that loses the rename race uses the winner's folder."""
        other = self._cache / 'tamarackthread-b1'

        def win() -> None:
            (other / start.LIBRARIES).mkdir(parents=True)

        with unittest.mock.patch('os.sync', win):
            libraries = start.unpack(self._archive, self._cache)
        self.assertEqual(libraries, other / start.LIBRARIES)
        self.assertEqual(list(self._cache.iterdir()), [other])

    def test_unwritable(self) -> None:
        """The error for an unwritable cache names the folder and the setting."""
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
