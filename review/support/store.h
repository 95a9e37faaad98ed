#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <boost/json.hpp>

#include "listener.h"

namespace buckthornhill::review {
//! A stand-in for the platform's store: lists in pages, long-polling watches, unconditional writes and one
//! revision counter.
class store
{
public:
    struct options
    {
        std::string ip = "127.0.0.1";
        std::size_t page_items = 500;
        milliseconds answer_time{4};
    };
    //! In a spec this text stands for a byte that is no character; the store prints it as an escape.
    static constexpr const char* unreadable_byte = "(unreadable)";

    explicit store(const options& settings);
    ~store();

    const address& local() const { return this->server->local(); }
    //! Returns the time at which the write took effect.
    time_point put(const std::string& kind, const std::string& name, const boost::json::value& spec);
    time_point remove(const std::string& kind, const std::string& name);
    //! While it is silent the store reads calls and never answers them.
    void set_silent(bool silent);
    //! While it is busy the store answers each call with 503, also those that wait.
    void set_busy(bool busy);

private:
    struct stored_object
    {
        std::string name;
        std::uint64_t created = 0;  //!< revision
        std::uint64_t revision = 0; //!< of the last change
        std::string spec;

        std::string text() const;
    };
    struct change
    {
        std::uint64_t revision;
        std::string kind;
        stored_object object;
        bool is_removed;
    };

    void serve(channel& connection);
    //! False when the channel ends or goes silent without an answer.
    bool answer(const message& request, message& response);
    void list(const std::string& kind, const std::string& after, message& response);
    bool watch(const std::string& kind, std::uint64_t since, milliseconds wait, message& response);
    void write(const message& request, const std::string& kind, const std::string& name, message& response);
    //! Refuses a call if the store is busy; returns whether it is.
    bool refuse(message& response);
    //! Waits until the store ends if it is silent; returns whether it was.
    bool swallow();
    bool has_changes(const std::string& kind, std::uint64_t since) const;
    std::string changes_since(const std::string& kind, std::uint64_t since) const;
    void set_object(const std::string& kind, const std::string& name, std::string spec);
    bool remove_object(const std::string& kind, const std::string& name);

    options settings;
    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, stored_object>> objects;
    std::deque<change> history;
    std::uint64_t revision = 1;
    bool is_stopping = false;
    bool is_silent = false;
    bool is_busy = false;
    std::unique_ptr<listener> server;
};
} // namespace buckthornhill::review
