package birchusher.sim;

/**
 * The answers that users got about one job from any controller, and the check that no answer is older than one that was
 * known when its request was sent. Requests may overlap: each is compared with what was known when it was sent. At most
 * one of {@code done} and {@code cancelled} may ever be reported.
 */
final class AnswerHistory {
    /** Kinds of requests about a job. */
    enum RequestKind {
        SUBMIT,
        POLL,
        CANCEL
    }

    /** A request, and what had been reported about the job when it was sent. */
    record SentRequest(RequestKind kind, boolean acceptedBefore, boolean endedBefore) {}

    private boolean accepted;
    private String finalState;
    private String lastState;
    private int answerCount;
    private int overtakenAnswers;

    /** Records that a request is sent. */
    SentRequest requestSent(RequestKind kind) {
        return new SentRequest(kind, accepted, finalState != null);
    }

    /** Records an answer. Returns the rule that it breaks, or null. */
    String checkAnswer(SentRequest request, int status, String state) {
        answerCount++;
        if (status == 404) {
            return request.acceptedBefore ? "forgotten, answered as unknown" : null;
        }
        if (status == 400 || status == 422) {
            return request.acceptedBefore ? "forgotten, rejected with " + status : "rejected with " + status;
        }
        if (status != 200 && status != 201) {
            return status == 503 || status == 429 ? null : "answered with " + status;
        }
        if (status == 201 && request.acceptedBefore) {
            return "accepted twice";
        }
        accepted = true;
        boolean isFinal = "done".equals(state) || "cancelled".equals(state);
        if (request.kind == RequestKind.CANCEL && !isFinal) {
            return "cancellation answered with " + state;
        }
        if (isFinal && finalState != null && !finalState.equals(state)) {
            return "went_back from " + finalState + " to " + state;
        }
        overtakenAnswers += !isFinal && finalState != null && !request.endedBefore ? 1 : 0;
        if (!isFinal && request.endedBefore) {
            return "went_back from " + finalState + " to " + state;
        }
        if (isFinal) {
            finalState = state;
        }
        lastState = finalState != null ? finalState : state;
        return null;
    }

    /** Returns whether a final state was reported. */
    boolean hasEnded() {
        return finalState != null;
    }

    /** Returns the newest state that was reported; null: none yet. */
    String lastState() {
        return lastState;
    }

    /**
     * Returns the number of answers without a final state that came after a final state, from requests sent before that: allowed, as
     * they overlap, and older by the strictest reading of the rule.
     */
    int overtakenAnswers() {
        return overtakenAnswers;
    }

    /** Returns the number of answers recorded. */
    int answerCount() {
        return answerCount;
    }
}
