package birchusher.store;

import birchusher.core.Fields;
import birchusher.core.Fields.InvalidInputException;
import birchusher.wire.Wire;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A response to a watch, parsed as a whole before any of it is applied: every change after the revision that was asked for, up to
 * {@code revision}.
 */
record WatchResponse(long revision, List<RowChange> changes) {
    /** A row that was written or removed, at a revision. The value is parsed by the view, which leaves out a row that it can't read. */
    record RowChange(String key, boolean removed, Object value, long version) {}

    /**
     * Parses the body of a response with status 200.
     *
     * @throws InvalidInputException if a field is missing or invalid, or a change is newer than the response
     */
    static WatchResponse parse(Map<String, Object> body) {
        long revision = Fields.count(body, Wire.REVISION);
        List<RowChange> changes = new ArrayList<>();
        for (Object item : Fields.list(body, Wire.EVENTS)) {
            RowChange change = parseChange(Fields.map(item, "event"));
            if (change.version > revision) {
                throw new InvalidInputException(change.key + ": version " + change.version + " above " + revision);
            }
            changes.add(change);
        }
        return new WatchResponse(revision, changes);
    }

    private static RowChange parseChange(Map<String, Object> event) {
        boolean removed = event.get(Wire.PUT) == null;
        String key = Fields.text(event, removed ? Wire.DELETE : Wire.PUT);
        return new RowChange(key, removed, event.get(Wire.VALUE), Fields.count(event, Wire.VERSION));
    }

    void applyTo(StoreView view) {
        for (RowChange change : changes) {
            if (change.removed) {
                view.remove(change.key, change.version);
            } else {
                view.put(change.key, change.value, change.version);
            }
        }
        view.appliedRevision(revision);
    }
}
