package birchusher.sim;

/**
 * What users were told of one job by any controller, and whether an answer is older than what was told before it was asked for.
 * Questions may overlap: each is held against what was known when it was sent. Of done and cancelled only one may ever be told.
 */
final class AnswerHistory {
    enum Kind {
        SUBMIT,
        POLL,
        CANCEL
    }

    /** What had been told when it was sent. */
    record Question(Kind kind, boolean accepted, boolean ended) {}

    private boolean accepted;
    private String end;
    private String last;
    private int answers;

    Question ask(Kind kind) {
        return new Question(kind, accepted, end != null);
    }

    /** Takes an answer; the rule that it breaks, or null. */
    String answered(Question q, int status, String stage) {
        answers++;
        if (status == 404) {
            return q.accepted ? "forgotten, called unknown" : null;
        }
        if (status == 400 || status == 422) {
            return q.accepted ? "forgotten, refused with " + status : "refused with " + status;
        }
        if (status != 200 && status != 201) {
            return status == 503 || status == 429 ? null : "answered with " + status;
        }
        if (status == 201 && q.accepted) {
            return "accepted twice";
        }
        accepted = true;
        boolean isEnd = "done".equals(stage) || "cancelled".equals(stage);
        if (q.kind == Kind.CANCEL && !isEnd) {
            return "cancellation answered with " + stage;
        }
        if (isEnd && end != null && !end.equals(stage)) {
            return "went_back from " + end + " to " + stage;
        }
        if (!isEnd && q.ended) {
            return "went_back from " + end + " to " + stage;
        }
        if (isEnd) {
            end = stage;
        }
        last = end != null ? end : stage;
        return null;
    }

    boolean ended() {
        return end != null;
    }

    /** The newest that was told; null: nothing yet. */
    String last() {
        return last;
    }

    int answers() {
        return answers;
    }
}
