"""Prove what operators see when they race, lose answers and undo."""

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from tamarackthread.cli import application, changes, client, failures
from tamarackthread.cli import exit_codes as codes
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    errors,
    findings,
    identity,
    link_pool,
    listener,
)
from tests import fake_control

KEY = b'a key for tests only'
AUTHOR = client.Author('ann', 'desk')


def options(node, role=messages.Role.CONTROL):
    own = identity.Identity(node=node, role=role)
    return identity.LinkOptions(own, keys=(KEY,))


def edit(body, based_on=None, change_id=''):
    return changes.Edit('profile', 'dawn', body, based_on, change_id)


class ControlCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.control = fake_control.FakeControl()
        self.listener = listener.Listener(options('c1'), self.control)
        self.address = await self.listener.start('127.0.0.1', 0)
        self.peers = link_pool.LinkPool(options('o', messages.Role.OPERATOR))
        self.operator = self.make_operator()

    async def asyncTearDown(self):
        self.peers.close()
        self.listener.close()
        await asyncio.sleep(0)

    def make_operator(self, *others, patience=20):
        control = (*others, self.address)
        return client.Operator(self.peers, control, AUTHOR, patience)


class ChangeCase(ControlCase):
    async def test_racing_operators_get_one_winner_and_a_difference(self):
        """The second of two operators sees what the first one changed.

        Both read version 1 and change the same field.  The first change is
        version 2; the second names version 1 as its base, so it must not
        undo the first unseen.
        """
        await changes.apply(self.operator, edit('{}'))
        first = edit('{"drain":{"seconds":60}}', 1)
        second = edit('{"drain":{"seconds":90}}', 1)
        won = await changes.apply(self.operator, first)
        lost = await changes.apply(self.operator, second)
        self.assertEqual(won.outcome, changes.Outcome.ACCEPTED)
        self.assertEqual(lost.outcome, changes.Outcome.CONFLICT)
        self.assertIn('-    "seconds": 60', lost.difference)
        self.assertIn('+    "seconds": 90', lost.difference)
        held = await self.operator.document('profile', 'dawn')
        self.assertEqual((held.version, held.body), (2, first.body))

    async def test_lost_answer_is_asked_for_again_with_the_same_id(self):
        """The operator sees one accepted change after two lost answers.

        Control applies the change and the link breaks before the answer,
        twice.  The client sends the same change id again, and control
        answers as it did first, so there is one version and not three.
        """
        self.control.answers_to_lose = 2
        result = await changes.apply(self.operator, edit('{}'))
        self.assertEqual(result.outcome, changes.Outcome.ACCEPTED)
        self.assertEqual(result.version, 1)
        sent = [
            asked.change.change_id
            for asked in self.control.asked
            if asked.change is not None
        ]
        self.assertEqual(len(sent), 3)
        self.assertEqual(set(sent), {result.change_id})

    async def test_unknown_outcome_names_the_id_to_repeat(self):
        """The operator is told that the change may be in force.

        Every answer is lost until patience ends.  Repeated with the id that
        the message names, the change gets its first answer.
        """
        self.control.answers_to_lose = 1000
        hasty = self.make_operator(patience=1)
        caught = self.assertRaises(failures.ChangeOutcomeUnknown)
        with caught:
            await changes.apply(hasty, edit('{}'))
        words = str(caught.exception).split()
        change_id = words[words.index('--change-id') + 1]
        self.control.answers_to_lose = 0
        result = await changes.apply(self.operator, edit('{}', 0, change_id))
        self.assertEqual((result.outcome, result.version), ('accepted', 1))

    async def test_unreachable_control_means_that_nothing_changed(self):
        self.listener.close()
        hasty = self.make_operator(patience=0.2)
        with self.assertRaises(failures.ControlUnreachable):
            await hasty.change(client.Change('1', 'profile', 'dawn', 0, '{}'))

    async def test_leader_that_is_named_is_asked_next(self):
        follower = fake_control.FakeControl(leader=self.address)
        other = listener.Listener(options('c2'), follower)
        address = await other.start('127.0.0.1', 0)
        operator = self.make_operator(address)
        await operator.status()
        await operator.status()
        other.close()
        self.assertEqual(len(follower.asked), 1)

    async def test_rollback_is_a_new_version_and_delete_can_be_undone(self):
        bodies = ('{}', '{"drain":{"seconds":60}}')
        for base, body in enumerate(bodies):
            await changes.apply(self.operator, edit(body, base))
        back = await changes.roll_back(self.operator, edit(''), 1)
        self.assertEqual(back.version, 3)
        await changes.delete(self.operator, edit(''))
        await changes.roll_back(self.operator, edit(''), 2)
        held = await self.operator.document('profile', 'dawn')
        self.assertEqual(held.body, bodies[1])

    async def test_refused_body_tells_all_findings(self):
        body = '{"drain":{"seconds":-1},"routng":{}}'
        caught = self.assertRaises(findings.InvalidError)
        with caught:
            await changes.apply(self.operator, edit(body))
        places = {found.place for found in caught.exception.findings}
        self.assertEqual(places, {'$.drain.seconds', '$.routng'})

    async def test_file_without_version_does_not_replace_a_document(self):
        await changes.apply(self.operator, edit('{}'))
        with self.assertRaises(failures.BaseUnknown):
            await changes.apply(self.operator, edit('{"drain":{}}'))
        same = await changes.apply(self.operator, edit('{ }'))
        self.assertEqual(same.outcome, changes.Outcome.UNCHANGED)

    async def test_list_longer_than_a_page_is_read_whole(self):
        for number in range(5000):
            name = f'o{number:04}'
            change = client.Change(name, 'organisation', name, 0, '{}')
            await self.operator.change(change)
        found = await self.operator.list_documents('organisation')
        names = [held.name for held in found]
        self.assertEqual(len(names), 5000)
        self.assertEqual(names, sorted(set(names)))

    async def test_newest_audit_reads_back_far_enough(self):
        for base in range(7):
            body = f'{{"drain":{{"seconds":{base + 1}}}}}'
            await changes.apply(self.operator, edit(body, base))
        records = await self.operator.newest_audit(3)
        self.assertEqual([one.revision for one in records], [5, 6, 7])
        self.assertEqual({one.actor for one in records}, {'ann'})


class CommandCase(ControlCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.key = self.folder / 'key'
        self.key.write_bytes(KEY)

    async def run_command(self, *words, patience='20'):
        """Run a command line in a thread; return its code and output."""
        way = ('--control', self.address, '--key-file', str(self.key))
        return await self.run_plain(*words, *way, '--patience', patience)

    async def run_plain(self, *words):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = await asyncio.to_thread(application.main, words)
        return code, out.getvalue(), err.getvalue()

    def file(self, content):
        path = self.folder / 'body.json'
        path.write_text(content, encoding='utf-8')
        return str(path)

    async def test_show_edit_apply_and_conflict(self):
        """The operator's file from version 1 conflicts with version 2.

        ``show`` writes the version into the file's first line; another
        operator's change comes in between; ``apply`` then exits with 3 and
        prints what differs.
        """
        await changes.apply(self.operator, edit('{}'))
        code, shown, _ = await self.run_command('profile', 'show', 'dawn')
        self.assertEqual((code, shown), (0, '// profile dawn version 1\n{}\n'))
        await changes.apply(self.operator, edit('{"drain":{"seconds":5}}', 1))
        edited = self.file(shown.replace('{}', '{"resume": {}, // mine\n}'))
        code, said, _ = await self.run_command(
            'profile', 'apply', 'dawn', edited
        )
        self.assertEqual(code, codes.ExitCode.CONFLICT)
        self.assertIn('-    "seconds": 5', said)
        code, _, _ = await self.run_command('profile', 'diff', 'dawn', edited)
        self.assertEqual(code, codes.ExitCode.DIFFERENT)

    async def test_findings_in_a_file_have_line_and_column(self):
        path = self.file(
            '// my profile\n{"drain": {"seconds": "2m"},\n "x": 1}'
        )
        code, _, said = await self.run_command('profile', 'apply', 'd', path)
        self.assertEqual(code, codes.ExitCode.INVALID)
        self.assertIn(f'{path}:2:12: TT2007', said)
        self.assertIn('write 120', said)
        self.assertIn(f'{path}:3:2: TT2004', said)

    async def test_json_reads_are_json(self):
        await changes.apply(self.operator, edit('{}'))
        for words in (
            ('profile', 'list'),
            ('profile', 'show', 'dawn', '--effective'),
            ('profile', 'history', 'dawn'),
            ('target', 'list'),
            ('status', '--wait', '1'),
            ('audit',),
        ):
            code, out, err = await self.run_command(*words, '--json')
            self.assertEqual((code, err), (0, ''), words)
            self.assertIsNotNone(json.loads(out))

    async def test_exit_codes(self):
        path = self.file('{}')
        self.control.confirmed = False
        for code, words in (
            (codes.ExitCode.NOT_FOUND, ('profile', 'show', 'x')),
            (codes.ExitCode.NOT_FOUND, ('profile', 'delete', 'x')),
            (codes.ExitCode.NOT_FOUND, ('target', 'drain', 'x')),
            (codes.ExitCode.USAGE, ('status', '--wait', 'soon')),
            (codes.ExitCode.USAGE, ('profile', 'shw')),
            (codes.ExitCode.REFUSED, ('control', 'remove', 'c1')),
            (codes.ExitCode.NOT_IN_FORCE, ('status', '--wait', '0')),
            (
                codes.ExitCode.NOT_IN_FORCE,
                ('profile', 'apply', 'p', path, '--wait'),
            ),
        ):
            in_vain = code == codes.ExitCode.NOT_IN_FORCE
            patience = '1' if in_vain else '20'
            found = await self.run_command(*words, patience=patience)
            self.assertEqual(found[0], code, (words, found))
        self.listener.close()
        found = await self.run_command('status', patience='0.2')
        self.assertEqual(found[0], codes.ExitCode.UNREACHABLE)
        self.assertEqual((await self.run_plain('entry'))[0], 2)

    async def test_drain_names_the_actor_and_can_be_taken_back(self):
        body = (
            '{"service": "s", "region": "r", "zone": "z", '
            '"address": "10.0.0.1:7"}'
        )
        announced = client.Change('1', 'target', 't1', 0, body)
        await self.operator.change(announced)
        for more, cancel in (((), False), (('--cancel',), True)):
            words = ('target', 'drain', 't1', '--actor', 'eve', *more)
            code, said, _ = await self.run_command(*words)
            self.assertEqual(code, codes.ExitCode.DONE)
            self.assertIn('revision 41', said)
            drained = self.control.asked[-1].drain
            self.assertEqual((drained.actor, drained.cancel), ('eve', cancel))

    async def test_wrong_key_is_named(self):
        self.key.write_bytes(b'quite another key')
        code, _, said = await self.run_command('status', patience='1')
        self.assertEqual(code, codes.ExitCode.UNREACHABLE)
        self.assertIn(errors.GreetingRefused.code, said)
