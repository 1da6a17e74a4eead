package birchusher.core;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Maps names to dense indices at the door, so that the inside compares and indexes plain numbers. */
public final class NameIndex {
    public static final int NONE = -1;
    private final Object2IntOpenHashMap<String> indexByName = new Object2IntOpenHashMap<>();
    private final List<String> names = new ArrayList<>();

    public NameIndex() {
        indexByName.defaultReturnValue(NONE);
    }

    public NameIndex(Collection<String> known) {
        this();
        known.forEach(this::add);
    }

    public int add(String name) {
        int i = indexByName.getInt(name);
        if (i == NONE) {
            i = names.size();
            indexByName.put(name, i);
            names.add(name);
        }
        return i;
    }

    /** The index of a name already known, or {@link #NONE}. */
    public int find(String name) {
        return name == null ? NONE : indexByName.getInt(name);
    }

    public String name(int i) {
        return names.get(i);
    }

    public int size() {
        return names.size();
    }
}
