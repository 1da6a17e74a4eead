package birchusher.sim;

/**
 * What users were told of one job by any controller, and whether an answer is older than what was told before it was asked for.
 * Questions may overlap: each is held against what was known when it was sent. Of done and cancelled only one may ever be told.
 */
final class AnswerHistory {
    enum RequestKind {
        SUBMIT,
        POLL,
        CANCEL
    }

    /** What had been told when it was sent. */
    record SentRequest(RequestKind kind, boolean acceptedBefore, boolean endedBefore) {}

    private boolean accepted;
    private String finalStage;
    private String lastStage;
    private int answerCount;

    SentRequest requestSent(RequestKind kind) {
        return new SentRequest(kind, accepted, finalStage != null);
    }

    /** Takes an answer; the rule that it breaks, or null. */
    String checkAnswer(SentRequest q, int status, String stage) {
        answerCount++;
        if (status == 404) {
            return q.acceptedBefore ? "forgotten, called unknown" : null;
        }
        if (status == 400 || status == 422) {
            return q.acceptedBefore ? "forgotten, refused with " + status : "refused with " + status;
        }
        if (status != 200 && status != 201) {
            return status == 503 || status == 429 ? null : "answered with " + status;
        }
        if (status == 201 && q.acceptedBefore) {
            return "accepted twice";
        }
        accepted = true;
        boolean isEnd = "done".equals(stage) || "cancelled".equals(stage);
        if (q.kind == RequestKind.CANCEL && !isEnd) {
            return "cancellation answered with " + stage;
        }
        if (isEnd && finalStage != null && !finalStage.equals(stage)) {
            return "went_back from " + finalStage + " to " + stage;
        }
        if (!isEnd && q.endedBefore) {
            return "went_back from " + finalStage + " to " + stage;
        }
        if (isEnd) {
            finalStage = stage;
        }
        lastStage = finalStage != null ? finalStage : stage;
        return null;
    }

    boolean hasEnded() {
        return finalStage != null;
    }

    /** The newest that was told; null: nothing yet. */
    String lastStage() {
        return lastStage;
    }

    int answerCount() {
        return answerCount;
    }
}
