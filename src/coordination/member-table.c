#include "coordination/member-table.h"

#include <stdlib.h>
#include <string.h>

void
member_table_init(struct member_table *table)
{
    list_init(&table->all);
    for (size_t i = 0; i < MEMBER_TABLE_CHAINS; i++) {
        list_init(&table->chains[i]);
    }
    table->count = 0;
}

void
member_table_clear(struct member_table *table)
{
    list_for_each_safe (it, &table->all) {
        member_table_remove(table, container_of(it, struct member, link));
    }
}

struct member *
member_table_find(const struct member_table *table, const char *id)
{
    uint64_t hash = id_hash(id);

    list_for_each (it, &table->chains[hash % MEMBER_TABLE_CHAINS]) {
        struct member *m = container_of(it, struct member, chain);

        if (m->hash == hash && strcmp(m->info.id, id) == 0) {
            return m;
        }
    }
    return NULL;
}

struct member *
member_table_add(struct member_table *table, const struct member_info *info,
                 bool local)
{
    struct member *m = calloc(1, sizeof(*m));

    if (m == NULL) {
        return NULL;
    }
    m->info = *info;
    m->hash = id_hash(info->id);
    m->local = local;
    list_push_back(&table->all, &m->link);
    list_push_back(&table->chains[m->hash % MEMBER_TABLE_CHAINS], &m->chain);
    table->count++;
    return m;
}

void
member_table_remove(struct member_table *table, struct member *m)
{
    list_remove(&m->link);
    list_remove(&m->chain);
    table->count--;
    free(m);
}

size_t
member_table_count(const struct member_table *table, enum member_state state,
                   bool local)
{
    size_t count = 0;

    list_for_each (it, &table->all) {
        const struct member *m = container_of(it, struct member, link);

        count += m->info.state == state && m->local == local;
    }
    return count;
}

size_t
member_table_bytes(const struct member_table *table)
{
    return sizeof(*table) + table->count * sizeof(struct member);
}
