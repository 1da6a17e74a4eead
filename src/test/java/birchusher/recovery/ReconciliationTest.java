package birchusher.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import birchusher.recovery.Reconciliation.ClaimOutcome;
import birchusher.recovery.Reconciliation.ClaimState;
import birchusher.recovery.Reconciliation.Command;
import birchusher.recovery.Reconciliation.OwnerKnowledge;
import birchusher.recovery.Reconciliation.ReportedState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Checks {@link Reconciliation} against the table in docs/recovery.md, for every combination of its columns. */
class ReconciliationTest {
    private record TableRow(
            List<ClaimState> claimStates,
            List<ReportedState> reportedStates,
            List<String> conditions,
            ClaimOutcome outcome,
            Command command) {
        boolean matches(ClaimState claim, ReportedState reported, OwnerKnowledge known) {
            return claimStates.contains(claim)
                    && reportedStates.contains(reported)
                    && conditions.stream().allMatch(condition -> isTrue(condition, known));
        }
    }

    private static boolean isTrue(String condition, OwnerKnowledge known) {
        if (condition.startsWith("!")) {
            return !isTrue(condition.substring(1), known);
        }
        return switch (condition) {
            case "before" -> known.reportedBefore();
            case "loose" -> known.startUnanswered();
            case "fenced" -> known.fenced();
            case "told" -> known.endKnown();
            case "repeatable" -> known.startRepeatable();
            default -> throw new AssertionError("unknown condition " + condition);
        };
    }

    private static <E extends Enum<E>> List<E> parseConstants(Class<E> type, String cell) {
        return splitCell(cell).stream()
                .map(word -> Enum.valueOf(type, word.toUpperCase(Locale.ROOT)))
                .toList();
    }

    private static List<String> splitCell(String cell) {
        return Arrays.stream(cell.split(","))
                .map(String::strip)
                .filter(word -> !word.isEmpty())
                .toList();
    }

    private static List<TableRow> readTable() throws IOException {
        List<TableRow> rows = new ArrayList<>();
        boolean inTable = false;
        for (String line : Files.readAllLines(Path.of("docs/recovery.md"))) {
            inTable = line.startsWith("| row | report |") || inTable && line.startsWith("|");
            String[] cells = line.split("\\|");
            if (inTable
                    && cells.length == 6
                    && !cells[1].isBlank()
                    && !cells[1].contains("row")
                    && !cells[1].contains("---")) {
                rows.add(new TableRow(
                        parseConstants(ClaimState.class, cells[1]),
                        parseConstants(ReportedState.class, cells[2]),
                        splitCell(cells[3]),
                        parseConstants(ClaimOutcome.class, cells[4]).get(0),
                        parseConstants(Command.class, cells[5]).get(0)));
            }
        }
        return rows;
    }

    private static List<OwnerKnowledge> allKnowledge() {
        List<OwnerKnowledge> combinations = new ArrayList<>();
        for (int bits = 0; bits < 32; bits++) {
            combinations.add(new OwnerKnowledge(
                    (bits & 1) > 0, (bits & 2) > 0, (bits & 4) > 0, (bits & 8) > 0, (bits & 16) > 0));
        }
        return combinations;
    }

    @Test
    void everyCombinationMatchesExactlyOneTableRow() throws IOException {
        List<TableRow> table = readTable();
        assertThat(table).hasSizeGreaterThan(20);
        for (ClaimState claim : ClaimState.values()) {
            for (ReportedState reported : ReportedState.values()) {
                for (OwnerKnowledge known : allKnowledge()) {
                    List<TableRow> rows = table.stream()
                            .filter(row -> row.matches(claim, reported, known))
                            .toList();
                    assertThat(rows).as("%s %s %s", claim, reported, known).hasSize(1);
                    assertThat(Reconciliation.claimOutcome(claim, reported, known))
                            .as("%s %s %s", claim, reported, known)
                            .isEqualTo(rows.get(0).outcome);
                    assertThat(Reconciliation.command(claim, reported, known))
                            .as("%s %s %s", claim, reported, known)
                            .isEqualTo(rows.get(0).command);
                }
            }
        }
    }

    /** Rules that hold whatever is changed in the table. */
    @Test
    void claimsAreReleasedOnlyOnProofAndExitsReapedOnlyWhenUnneeded() {
        for (ClaimState claim : ClaimState.values()) {
            for (ReportedState reported : ReportedState.values()) {
                for (OwnerKnowledge known : allKnowledge()) {
                    boolean claimedHere = claim == ClaimState.CLAIMED || claim == ClaimState.UNWANTED;
                    if (claimedHere
                            && (reported == ReportedState.ABSENT && known.startUnanswered()
                                    || reported.compareTo(ReportedState.ABSENT) > 0
                                            && reported.compareTo(ReportedState.DONE) < 0)) {
                        assertThat(Reconciliation.claimOutcome(claim, reported, known))
                                .isEqualTo(ClaimOutcome.NOTHING);
                    }
                    if (claimedHere || known.endKnown() || known.startUnanswered() || known.startRepeatable()) {
                        assertThat(Reconciliation.command(claim, reported, known))
                                .isNotEqualTo(Command.REAP);
                    }
                    if (claim != ClaimState.CLAIMED || reported != ReportedState.ABSENT) {
                        assertThat(Reconciliation.command(claim, reported, known))
                                .isNotEqualTo(Command.START);
                    }
                }
            }
        }
    }
}
