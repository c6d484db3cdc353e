/*
 * The life of a cache block.
 *
 * Models: one place in a store VM, reused for blocks of two workspaces and two
 * weight versions; a writer that may be paused or die at any step; the tier, which
 * reclaims places; the store VM, which dies and returns empty under the same name;
 * two readers, one in each workspace, that find the block by a stale directory
 * and run on an engine whose weights are swapped at any moment; a link that cuts
 * a transfer short.
 *
 * Leaves out: several places (they share no state), which block is worth keeping,
 * adapters and the chain of earlier pieces (parts of the key like the version),
 * the engine's own blocks (the same rules, in the engine).
 *
 * Assumes: the store VM does each of its own steps atomically and refuses a
 * request that names another incarnation or generation.
 *
 * Stands for: the block state machine behind the store VM's trait, pins and
 * imports in the readers, and the directory of blocks.
 *
 * Bounds: GENERATIONS uses of the place in each incarnation, DEATHS deaths of the
 * store VM, one swap of the weights, one late write at a time; reads are not
 * bounded.
 */

#ifndef GENERATIONS
#define GENERATIONS 2
#endif
#ifndef DEATHS
#define DEATHS 1
#endif
#define WORKSPACES 2
#define PIECES 2                    /* a block is written and read in two pieces */
#define NOTHING 255

mtype = { Reserved, Writing, Sealed, Readable, Draining, Freed };
mtype = { Idle, Found, Pinned, Importing, Running };

/* A key binds workspace and weight version. */
#define key(workspace, version) ((workspace) * 2 + (version))

/* Store VM. */
byte store_incarnation;
byte deaths;
mtype block = Freed;
byte generation;                    /* raised at each reservation */
byte piece[PIECES];                 /* whose bytes: a key, or NOTHING */
byte pins;

/* Engine. */
bool weights;                       /* the version loaded now */

/* Directory: a hint for each key, never taken back. */
byte hint_incarnation[4];
byte hint_generation[4];

#ifdef FAULT_STORE_WITHOUT_INCARNATION
#define is_same_store(i) true
#else
/* A name that survives the VM's death is another store: its generations begin
 * again, so an old hint or pin would fit a block that it doesn't mean. */
#define is_same_store(i) (i == store_incarnation)
#endif

/* Writer. */
mtype = { Resting, Filling };
mtype writer = Resting;
byte writer_incarnation;
byte writer_generation;
byte writer_key;
byte written;

/* A write that its writer has given up on and that may still arrive. */
bool late;
byte late_incarnation;
byte late_generation;
byte late_key;
byte late_piece;

#define is_reserved_as(i, g) (is_same_store(i) && g == generation)

/* The tier may give a place to another block while a write to the first is on its
 * way.  Taken, that write would put one block's bytes into another, and the seal
 * would then cover them. */
#ifdef FAULT_WRITE_WITHOUT_GENERATION
#define may_write(i, g) (block == Writing)
#else
#define may_write(i, g) (block == Writing && is_reserved_as(i, g))
#endif

inline stop_writing() {
    writer = Resting;
    writer_incarnation = 0;
    writer_generation = 0;
    writer_key = 0;
    written = 0
}

proctype Writer() {
    byte workspace;
end:
    do
    :: atomic { writer == Resting && block == Freed && generation < GENERATIONS ->
        select(workspace : 0 .. WORKSPACES - 1);            /* Reserved */
        generation++;
        block = Reserved;
        writer = Filling;
        writer_incarnation = store_incarnation;
        writer_generation = generation;
        writer_key = key(workspace, weights);
        workspace = 0 }
    :: atomic { writer == Filling && block == Reserved &&
                is_reserved_as(writer_incarnation, writer_generation) ->
        block = Writing }
    :: atomic { writer == Filling && written < PIECES &&
                may_write(writer_incarnation, writer_generation) ->
        piece[written] = writer_key;                        /* Write */
        written++ }
    :: atomic { writer == Filling && block == Writing &&
                is_reserved_as(writer_incarnation, writer_generation) &&
#ifndef FAULT_SEALED_WHILE_WRITING
                written == PIECES &&
#endif
                true ->
        block = Sealed }                                    /* Seal */
    :: atomic { writer == Filling && block == Sealed &&
                is_reserved_as(writer_incarnation, writer_generation) ->
        block = Readable;                                   /* Publish */
        hint_incarnation[writer_key] = writer_incarnation;
        hint_generation[writer_key] = writer_generation;
        stop_writing() }
    :: atomic { writer == Filling -> stop_writing() }       /* dies, or gives up */
    :: atomic { writer == Filling && written < PIECES && !late ->
        late = true;                        /* dies, or gives up, amid a write */
        late_incarnation = writer_incarnation;
        late_generation = writer_generation;
        late_key = writer_key;
        late_piece = written;
        stop_writing() }
    :: atomic { late ->
        if
        :: may_write(late_incarnation, late_generation) ->
            piece[late_piece] = late_key
        :: else
        fi;
        late = false;
        late_incarnation = 0;
        late_generation = 0;
        late_key = 0;
        late_piece = 0 }
    od
}

/* Gives up unfinished blocks and evicts readable ones, whenever it likes. */
proctype Tier() {
end:
    do
    :: atomic { block == Reserved || block == Writing || block == Sealed ->
        block = Freed;                                      /* Free */
        piece[0] = NOTHING;
        piece[1] = NOTHING }
    :: atomic { block == Readable -> block = Draining }     /* Drain */
    :: atomic { block == Draining &&
#ifndef FAULT_FREED_WHILE_PINNED
                pins == 0 &&
#endif
                true ->
        block = Freed;                                      /* Free */
        piece[0] = NOTHING;
        piece[1] = NOTHING }
    od
}

proctype Store() {
end:
    do
    :: atomic { deaths < DEATHS ->                          /* StoreDied */
        deaths++;
        store_incarnation++;
        generation = 0;
        block = Freed;
        piece[0] = NOTHING;
        piece[1] = NOTHING;
        pins = 0 }
    od
}

proctype Swap() {
    weights = 1
}

#ifdef FAULT_PIN_WITHOUT_GENERATION
#define is_same_block(g) true
#else
#define is_same_block(g) (g == generation)
#endif

#ifdef FAULT_PIN_WITHOUT_STATE
#define may_pin true
#else
#define may_pin (block == Readable)
#endif

#ifdef FAULT_KEY_WITHOUT_WORKSPACE
#define key_of(workspace, version) key(0, version)
#else
#define key_of(workspace, version) key(workspace, version)
#endif

inline stop_reading() {
    incarnation = 0;
    pinned = 0;
    got = 0;
    version = 0;
    reader = Idle
}

/* One reader in each workspace.  A store that answers `gone`, or a refused import,
 * sends it back to recompute the block, which is always right. */
proctype Reader(byte workspace) {
    byte incarnation, pinned, got;
    bool version;
    mtype reader = Idle;
end:
    do
    :: atomic { reader == Idle &&
                hint_generation[key_of(workspace, weights)] > 0 ->
        version = weights;          /* the version that the request is decided for */
        incarnation = hint_incarnation[key_of(workspace, version)];
        pinned = hint_generation[key_of(workspace, version)];
        reader = Found }
    :: atomic { reader == Found ->
        if
        :: may_pin && is_same_store(incarnation) && is_same_block(pinned) ->
            pins++;                                         /* Pin */
            incarnation = store_incarnation;
            pinned = generation;
            reader = Pinned
        :: else -> stop_reading()   /* gone */
        fi }
    :: atomic { reader == Pinned && got < PIECES ->
        if
        :: is_same_store(incarnation) ->
            /* No reader reads a freed, partly written or other block. */
            assert(block == Readable || block == Draining);
            assert(generation == pinned);
            assert(piece[got] == key(workspace, version));
            got++
        :: !is_same_store(incarnation) -> stop_reading()    /* gone */
        fi }
    :: atomic { reader == Pinned ->     /* all pieces read, or the link was cut */
        if
        :: is_same_store(incarnation) && pins > 0 -> pins-- /* Unpin */
        :: else
        fi;
        reader = Importing }
    :: atomic { reader == Importing ->
        if
#ifndef FAULT_IMPORT_WITHOUT_LENGTH
        /* A cut transfer looks whole to whoever doesn't know the length. */
        :: got < PIECES -> stop_reading()
#endif
#ifndef FAULT_IMPORT_WITHOUT_VERSION
        /* The weights were swapped after the decision. */
        :: version != weights -> stop_reading()
#endif
        :: else ->
            assert(got == PIECES);
            assert(version == weights);
            reader = Running        /* goes on with its own version after a swap */
        fi }
    :: atomic { reader == Running -> stop_reading() }
    od
}

init {
    atomic {
        piece[0] = NOTHING;
        piece[1] = NOTHING;
        run Writer();
        run Tier();
        run Store();
        run Swap();
        run Reader(0);
        run Reader(1)
    }
}
